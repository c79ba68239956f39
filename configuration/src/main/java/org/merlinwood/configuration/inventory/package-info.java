/** Immutable values of the inventory. It has one row per instance and comes from the operators' asset register. */
package org.merlinwood.configuration.inventory;
