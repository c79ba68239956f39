/** JSON parser that records positions, and the readers that validate tables and rows. */
package org.merlinwood.configuration.document.impl;
