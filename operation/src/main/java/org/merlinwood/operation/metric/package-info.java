/** Metrics in the Prometheus text exposition format. */
package org.merlinwood.operation.metric;
