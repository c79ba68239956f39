/** The process beside one upstream: assembly and life-cycle. */
package org.merlinwood.sidecar;
