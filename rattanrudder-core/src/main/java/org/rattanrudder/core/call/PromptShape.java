package org.rattanrudder.core.call;

import java.util.ArrayList;
import java.util.List;
import org.rattanrudder.core.model.Digest;

/**
 * What routing and caching need to know of a prompt, without its text.
 *
 * @param tokens the prompt's length in tokens
 * @param pieces the digest of the text of each whole piece, in order; not yet bound to a customer
 */
public record PromptShape(int tokens, List<Digest> pieces) {
    /** The shape of a call that is no prompt. */
    public static final PromptShape NONE = new PromptShape(0, List.of());

    /** Copies the list. */
    public PromptShape {
        pieces = List.copyOf(pieces);
    }

    /**
     * Returns the names of the prompt's blocks under a root: each names its piece and all before it, so that two
     * prompts share a name exactly where they share the whole text up to there.
     */
    public List<Digest> blockDigests(Digest root) {
        List<Digest> names = new ArrayList<>(pieces.size());
        Digest parent = root;
        for (Digest piece : pieces) {
            parent = parent.chain(piece);
            names.add(parent);
        }
        return names;
    }
}
