/** The one thread on which an entry works, and the types that stand for it. */
package org.merlinwood.gateway.loop;
