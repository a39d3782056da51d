/** API keys of workspaces: whose key it is, and whether this host's answer can be trusted. */
@NullMarked
package dev.cactusstack.decisions.workspaces;

import org.jspecify.annotations.NullMarked;
