//! Entry process: takes jobs over HTTP and dispatches their tasks
