/** The calls that an upstream which admits work by itself understands, apart from how they are written. */
package org.merlinwood.gateway.upstream;
