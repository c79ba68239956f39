/** Immutable settings of one process, such as its addresses, failure domain and shared keys. */
package org.merlinwood.configuration.settings;
