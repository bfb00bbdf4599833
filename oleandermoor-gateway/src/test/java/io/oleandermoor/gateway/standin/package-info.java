/** Stand-ins of the platform's store and of instances, which speak the published protocol over loopback. */
package io.oleandermoor.gateway.standin;
