/** Metrics in the text exposition format that common collectors read. */
package org.merlinwood.operation.metric;
