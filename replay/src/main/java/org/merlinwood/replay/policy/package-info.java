/** The policies that are compared: the product's decisions and the baselines. */
package org.merlinwood.replay.policy;
