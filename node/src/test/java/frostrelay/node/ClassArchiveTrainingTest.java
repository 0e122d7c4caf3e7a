package frostrelay.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * The build archives the classes that this loads; one that goes wrong would leave a start slow
 * unseen.
 */
class ClassArchiveTrainingTest {
    @Test
    void everyCommandOfTheTrainingRunIsAnswered() throws Exception {
        assertEquals(109, ClassArchiveTraining.run());
    }
}
