"""greengagetack.weights: rollouts of new weight versions to the engines."""
