package org.rattanrudder.core.fleet;

/** What is known of the versions of models' weights that operators have published: targets serve no others. */
public interface PublishedVersions {
    /** Takes for true whatever weights targets are said to serve. */
    PublishedVersions ANY = new PublishedVersions() {
        @Override
        public void onClaimed(String model, long version) {}

        @Override
        public boolean isPublished(String model, long version) {
            return true;
        }

        @Override
        public boolean mayBePublished(String model, long version) {
            return true;
        }
    };

    /** Records that a target is said to serve a version. */
    void onClaimed(String model, long version);

    /** Returns whether a version that a target is said to serve is known to be published. */
    boolean isPublished(String model, long version);

    /** Returns whether a version that a target is said to serve is published, or may be and was not read yet. */
    boolean mayBePublished(String model, long version);
}
