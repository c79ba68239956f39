/** The event loop: the single thread on which an entry does its work. */
package org.merlinwood.gateway.loop;
