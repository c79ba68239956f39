/** The rules: a few tables on top of the inventory. Values only. */
package org.merlinwood.configuration.rules;
