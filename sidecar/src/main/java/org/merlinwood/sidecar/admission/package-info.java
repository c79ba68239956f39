/** Control state of the sidecar: exchanges, grants and what runs under them. Used by the control thread. */
package org.merlinwood.sidecar.admission;
