/**
 * Test stand-ins for the external systems that merlinwood talks to. Each is a library class and a subcommand of one
 * program.
 */
package org.merlinwood.standin;
