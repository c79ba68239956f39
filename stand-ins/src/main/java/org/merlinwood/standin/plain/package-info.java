/** Stand-in for a plain service, with a ledger of every run. */
package org.merlinwood.standin.plain;
