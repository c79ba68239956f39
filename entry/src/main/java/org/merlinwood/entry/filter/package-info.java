/** The filters before anything is placed: identify and classify. They decide; they send and receive nothing. */
package org.merlinwood.entry.filter;
