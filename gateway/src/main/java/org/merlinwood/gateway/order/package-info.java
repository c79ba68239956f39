/** Orders to instances: given by one entry at a time. */
package org.merlinwood.gateway.order;
