package org.rattanrudder.standins.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.rattanrudder.core.document.StoreSettings;
import org.rattanrudder.core.document.TargetSettings;
import org.rattanrudder.core.model.Address;
import org.rattanrudder.standins.deployment.Layout;

/** What goes wrong in the middle of a load. */
enum Trouble {
    /** Nothing. */
    NONE {
        @Override
        void begin(Layout layout, Shape shape, Path directory) {
            // All stays well.
            return;
        }
    },
    /** The first store's link runs at a tenth of its speed. */
    SLOW_LINK {
        @Override
        void begin(Layout layout, Shape shape, Path directory) {
            StoreSettings store = stores(layout, shape).get(0);
            fault(store.address(), "{\"rate_bytes_per_second\": " + store.linkBytesPerSecond() / 10 + "}");
        }
    },
    /** The first store answers nothing any more. */
    STORE_DEAD {
        @Override
        void begin(Layout layout, Shape shape, Path directory) {
            fault(stores(layout, shape).get(0).address(), DEAD);
        }
    },
    /** Targets, companions and stores of the first failure domain die; its entry lives on. */
    DOMAIN_DEAD {
        @Override
        void begin(Layout layout, Shape shape, Path directory) {
            String domain = stores(layout, shape).get(0).failureDomain();
            stores(layout, shape).stream()
                    .filter(store -> store.failureDomain().equals(domain))
                    .forEach(store -> fault(store.address(), DEAD));
            layout.documents().stream()
                    .flatMap(document -> document.content().targets().stream())
                    .filter(target -> target.failureDomain().equals(domain))
                    .forEach(target -> kill(layout, target, directory));
        }
    };

    private static final String DEAD = "{\"down\": true, \"drop_connections\": true}";

    abstract void begin(Layout layout, Shape shape, Path directory);

    private static List<StoreSettings> stores(Layout layout, Shape shape) {
        return layout.document(shape.promptService()).content().stores();
    }

    private static void kill(Layout layout, TargetSettings target, Path directory) {
        fault(target.address(), DEAD);
        layout.processes().stream()
                .filter(process -> process.settings().link().stream().anyMatch(target.companion()::equals))
                .forEach(process -> kill(process.name(), directory));
    }

    /** Kills one process that the run started, by the id that the run wrote down. */
    private static void kill(String name, Path directory) {
        try {
            for (String line : Files.readAllLines(directory.resolve("pids"))) {
                String[] idAndName = line.split(" ");
                if (idAndName[1].equals(name)) {
                    ProcessHandle.of(Long.parseLong(idAndName[0])).ifPresent(ProcessHandle::destroyForcibly);
                }
            }
        } catch (IOException unreadable) {
            throw new UncheckedIOException(unreadable);
        }
    }

    private static void fault(Address standIn, String faults) {
        new CallerClient().call(standIn, "POST", "/fault", Map.of(), faults);
    }
}
