/** Code that all stand-ins share: HTTP server, JSON, ledger and rate limit. */
package org.merlinwood.standin.impl;
