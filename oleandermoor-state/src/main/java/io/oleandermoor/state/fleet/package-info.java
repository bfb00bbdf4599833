/** What a deployment consists of as its operators describe it: routes, services, teams, models, and the instances. */
@NullMarked
package io.oleandermoor.state.fleet;

import org.jspecify.annotations.NullMarked;
