/** Immutable representations of a request, one for each step of its processing: accepted, identified and classified. */
package org.merlinwood.entry.request;
