/** Current routes and registered upstream instances. */
package org.merlinwood.gateway.fleet;
