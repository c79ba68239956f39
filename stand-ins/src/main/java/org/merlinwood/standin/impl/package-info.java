/** What the stand-ins share: their HTTP server, JSON and the command line. */
package org.merlinwood.standin.impl;
