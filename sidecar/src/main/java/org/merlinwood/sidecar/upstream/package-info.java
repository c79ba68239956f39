/** Calls to the upstream: a model engine's interface, the reading of its answers, the end of its streams. */
package org.merlinwood.sidecar.upstream;
