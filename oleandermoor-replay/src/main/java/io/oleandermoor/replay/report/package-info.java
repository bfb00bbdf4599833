/** Self-contained HTML pages that show the results of replays to people. */
@NullMarked
package io.oleandermoor.replay.report;

import org.jspecify.annotations.NullMarked;
