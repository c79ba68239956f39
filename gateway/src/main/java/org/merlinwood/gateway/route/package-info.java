/** Which requests go to which service: the operator's routes, whole and immutable. */
package org.merlinwood.gateway.route;
