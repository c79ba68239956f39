/** Workspaces of the operator's configuration: the keys, the priority and the allotment of each caller. */
package org.merlinwood.gateway.workspace;
