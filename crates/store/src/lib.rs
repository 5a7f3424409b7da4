//! The platform's table service and object store: claims, configuration and membership list.
