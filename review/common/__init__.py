"""Stand-ins and helpers of the review's cases; standard library only."""
