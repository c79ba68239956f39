/** Exchanges that a sidecar opens to other sidecars and that end by themselves. */
package org.merlinwood.sidecar.query;
