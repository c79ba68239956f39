/** Client of the model engine: requests, response parsing and the deletion of streams. */
package org.merlinwood.sidecar.upstream;
