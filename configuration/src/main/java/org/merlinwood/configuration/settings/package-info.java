/** Settings of one process: its addresses, its failure domain, its keys. Values only. */
package org.merlinwood.configuration.settings;
