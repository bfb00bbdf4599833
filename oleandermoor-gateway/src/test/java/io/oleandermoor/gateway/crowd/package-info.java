/** Entry processes with little memory beside crowds of hostile callers. */
package io.oleandermoor.gateway.crowd;
