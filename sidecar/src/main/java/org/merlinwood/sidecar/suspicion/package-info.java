/** Requests that may crash engines: reports, inquiries and their answers between sidecars. */
package org.merlinwood.sidecar.suspicion;
