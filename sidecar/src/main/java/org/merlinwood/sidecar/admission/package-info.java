/** Admission of requests by the sidecar: grant requests, grants and the executions that use them. */
package org.merlinwood.sidecar.admission;
