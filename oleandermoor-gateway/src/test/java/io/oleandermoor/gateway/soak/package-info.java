/** A seeded soak of entry processes beside instances that answer twice or not completely. */
package io.oleandermoor.gateway.soak;
