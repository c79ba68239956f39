/** The sidecar process: assembly, life cycle and command line. */
package org.merlinwood.sidecar;
