/** Small stand-ins for the systems around merlinwood, each a library class and a subcommand of one program. */
package org.merlinwood.standin;
