/** The parser that keeps positions, and the readers of rows on top of it. */
package org.merlinwood.configuration.document.impl;
