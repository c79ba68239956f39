/** The operators' port: readiness, metrics, state dump, drain. */
package org.merlinwood.operation.port;
