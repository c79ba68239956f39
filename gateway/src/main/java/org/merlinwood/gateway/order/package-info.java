/** Orders to change the stage of an instance, issued by one entry at a time. */
package org.merlinwood.gateway.order;
