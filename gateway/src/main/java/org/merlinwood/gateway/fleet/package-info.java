/** The upstream instances that the registry names, and the newest state of each. */
package org.merlinwood.gateway.fleet;
