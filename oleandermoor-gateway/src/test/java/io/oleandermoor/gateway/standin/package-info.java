/** Stand-ins for the platform's store and instances that implement the published protocol over loopback. */
package io.oleandermoor.gateway.standin;
