package dev.cactusstack.decisions.workspaces;

import static org.assertj.core.api.Assertions.assertThat;

import dev.cactusstack.model.site.ApiKeyDigest;
import dev.cactusstack.model.site.CallerAccess;
import dev.cactusstack.model.site.Workspace;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

class WorkspaceKeysTest {
  private static final ApiKeyDigest FIRST = ApiKeyDigest.of("first");
  private static final ApiKeyDigest SECOND = ApiKeyDigest.of("second");
  private static final ApiKeyDigest THIRD = ApiKeyDigest.of("third");

  private static Workspace workspace(String name, ApiKeyDigest... keys) {
    return new Workspace(name, Set.of(keys), OptionalInt.empty(), 0, 0);
  }

  private static String owner(WorkspaceKeys keys, ApiKeyDigest key) {
    return keys.find(key).map(Workspace::name).orElse("none");
  }

  @Test
  void shouldFindTheWorkspaceWhenItHasSeveralKeys() {
    var keys = new WorkspaceKeys(List.of(workspace("a", FIRST, SECOND), workspace("b", THIRD)));
    assertThat(owner(keys, FIRST)).isEqualTo("a");
    assertThat(owner(keys, SECOND)).isEqualTo("a");
    assertThat(owner(keys, THIRD)).isEqualTo("b");
    assertThat(owner(keys, ApiKeyDigest.of("other"))).isEqualTo("none");
    assertThat(keys.sharedKeyCount()).isZero();
  }

  /** Guards against a key that the last or the first claimant gets, in whatever order they come. */
  @Test
  void shouldGiveAKeyToNobodyWhenSeveralWorkspacesClaimIt() {
    var a = workspace("a", FIRST, SECOND);
    var b = workspace("b", FIRST);
    var c = workspace("c", FIRST, THIRD);
    for (List<Workspace> order : List.of(List.of(a, b, c), List.of(c, b, a), List.of(b, a, c))) {
      var keys = new WorkspaceKeys(order);
      assertThat(owner(keys, FIRST)).isEqualTo("none");
      assertThat(owner(keys, SECOND)).isEqualTo("a");
      assertThat(owner(keys, THIRD)).isEqualTo("c");
      assertThat(keys.sharedKeyCount()).isEqualTo(1);
      assertThat(keys.sharingWorkspaces()).containsExactly("a", "b", "c");
    }
  }

  /** Guards against a site that becomes open because none of its workspaces has a usable key. */
  @Test
  void shouldRequireAKeyWhenWorkspacesHaveNone() {
    assertThat(new WorkspaceKeys(List.of(workspace("a"))).areRequired()).isTrue();
    assertThat(new WorkspaceKeys(List.of(workspace("a", FIRST), workspace("b", FIRST))))
        .satisfies(keys -> assertThat(keys.areRequired()).isTrue());
    assertThat(WorkspaceKeys.NONE.areRequired()).isFalse();
  }

  /** Guards against a site that becomes open because its last workspace was removed. */
  @Test
  void shouldRequireAKeyWhenNoWorkspaceIsLeft() {
    WorkspaceKeys keys = WorkspaceKeys.of(CallerAccess.byApiKey(Map.of()));
    assertThat(keys.areRequired()).isTrue();
    assertThat(owner(keys, FIRST)).isEqualTo("none");
    assertThat(WorkspaceKeys.of(CallerAccess.OPEN).areRequired()).isFalse();
  }
}
