/** Allotments of workspaces, which all entries together respect although each admits requests on its own. */
package org.merlinwood.gateway.allotment;
