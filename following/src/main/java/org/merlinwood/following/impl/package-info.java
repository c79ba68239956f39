/** Implementation of configuration following: service watches, peer subscriptions, document deltas and shared state. */
package org.merlinwood.following.impl;
