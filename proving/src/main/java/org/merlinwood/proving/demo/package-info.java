/** The demo: requests of both deployments to a whole fleet. */
package org.merlinwood.proving.demo;
