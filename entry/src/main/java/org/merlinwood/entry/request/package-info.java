/** What flows from filter to filter: one immutable type for each step that a request has passed. */
package org.merlinwood.entry.request;
