/** Quotas of workspaces over all hosts. */
@NullMarked
package dev.cactusstack.decisions.quotas;

import org.jspecify.annotations.NullMarked;
