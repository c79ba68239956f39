/** Orders that keep the engine in line with the inventory. */
package org.merlinwood.sidecar.order;
