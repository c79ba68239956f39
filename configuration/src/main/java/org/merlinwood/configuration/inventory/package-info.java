/** The inventory: one row an instance, drawn from the operators' asset register. Values only. */
package org.merlinwood.configuration.inventory;
