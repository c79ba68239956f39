/** HTTP server of the operator port: health, readiness, metrics, state dump and drain. */
package org.merlinwood.operation.port;
