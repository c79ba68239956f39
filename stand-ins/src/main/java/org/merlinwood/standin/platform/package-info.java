/** Stand-ins for the platform: configuration service and weight store. */
package org.merlinwood.standin.platform;
