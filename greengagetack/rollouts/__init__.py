"""greengagetack.rollouts: rollout jobs, samples and their delivery."""
