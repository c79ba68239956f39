/** Requests that are suspected of crashing engines: reports and queries between sidecars. */
package org.merlinwood.sidecar.suspicion;
