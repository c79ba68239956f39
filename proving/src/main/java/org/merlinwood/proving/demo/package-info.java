/** The demo, which sends requests of both deployments to a complete fleet. */
package org.merlinwood.proving.demo;
